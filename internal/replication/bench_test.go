package replication

import (
	"fmt"
	"math/rand"
	"runtime"
	"testing"
	"time"
)

// benchmarkRecord returns a reservation that has the replica "h".
func benchmarkRecord(i int, validFrom, expiresAt float64) Record {
	return Record{
		Kind:      Reservation,
		Key:       fmt.Sprintf("%016x", i),
		ID:        uint64(i + 1),
		Owner:     "relay-17",
		ValidFrom: validFrom,
		ExpiresAt: expiresAt,
		Replicas:  []Replica{{"h", 1}, {"relay-203", 1 << 60}, {"relay-77", 1 << 61}},
	}
}

// BenchmarkReplicaOperations measures the cost of one reservation at a replica, without the disk: storing it, promising
// a ballot and accepting a claim. bytes/record counts the bytes written and sent.
func BenchmarkReplicaOperations(b *testing.B) {
	r := New("h", 1, 3, 1<<30, rand.New(rand.NewSource(1)))
	now := 1e6
	bytes := 0
	complete := func(actions []Action) {
		for _, action := range actions {
			if action.Write == nil {
				continue
			}
			bytes += len(action.Write.Body)
			for _, reply := range r.CompleteWrite(now, action.Write) {
				bytes += len(reply.Data)
			}
		}
	}
	for i := range b.N {
		record := benchmarkRecord(i, now+500, now+1200)
		for _, request := range []messageType{messageStore, messagePrepare, messageAccept} {
			m := message{Type: request, Token: 9, From: "relay-17", Incarnation: 1 << 60, Ballot: ballot{1, 9},
				Claimant: 9, Records: []Record{record}}
			actions, err := r.HandleMessage(now, "x", m.encode())
			if err != nil {
				b.Fatal(err)
			}
			complete(actions)
		}
		now += 0.02
		if i%1000 == 999 {
			r.Tick(now)
		}
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/record")
}

// BenchmarkManyRecords measures the memory per record at a replica that stores a million records, and the time that
// Status, Page, a partition scan and Tick take there.
func BenchmarkManyRecords(b *testing.B) {
	const recordCount = 1000000
	report := func(unit string, measure func()) {
		start := time.Now()
		measure()
		b.ReportMetric(float64(time.Since(start).Microseconds())/1000, unit)
	}
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		r := New("h", 1, 3, 1<<30, rand.New(rand.NewSource(1)))
		now := 1e6
		for i := range recordCount {
			m := message{Type: messageStore, Token: 9, From: "relay-17", Incarnation: 1 << 60,
				Records: []Record{benchmarkRecord(i, now+5e5, now+5e5+float64(i%1000))}}
			if _, err := r.HandleMessage(now, "x", m.encode()); err != nil {
				b.Fatal(err)
			}
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/recordCount, "bytes/record")
		report("ms/status", func() { r.Status(now) })
		report("ms/page", func() { r.Page(now, 7) })
		report("ms/scan", func() { r.scanPartition(now, 7, r.members.names()) })
		report("ms/tick", func() { r.Tick(now + 1) })
	}
}
