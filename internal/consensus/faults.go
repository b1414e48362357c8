package consensus

// plantedFaults break a voter on purpose, so that tests can show that their checks detect it.
type plantedFaults struct {
	sendUnsaved     bool    // sends before the state that messages speak of is durable
	leaseFactor     float64 // the lease lasts so many times as long; below 1: as long as it should
	voteEarly       bool    // takes part right after a start, without the confirmation delay
	acceptStaleDisk bool    // goes on with a disk that is behind what others know
}
