package consensus

// plantedFaults are deliberate bugs that tests switch on to show that their checks detect them.
type plantedFaults struct {
	sendUnsaved     bool    // sends messages before the state that they refer to is durable
	leaseFactor     float64 // multiplies the duration of the lease; values below 1 leave it as it is
	voteEarly       bool    // takes part in Raft right after a start, without waiting for confirmDelayMillis
	acceptStaleDisk bool    // keeps a disk that is behind what other voters know of it
}
