// Package membership keeps what the relays of a fleet say of themselves: who is alive, suspected or gone, in which
// life, and what each last said. It gossips: a few datagrams a period, each with the sender's own word and a
// part of the others'. Of two words on one relay the later holds (boot, then beat), so that whatever is lost,
// late, doubled or out of order takes nothing back. It decides nothing, touches no socket, asks no clock:
// times come in and datagrams go out. Nobody waits for an answer.
package membership

import (
	"cmp"
	"container/list"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"fmt"
	"math"
	"math/rand"
	"slices"
)

// MemberState is what a relay says of itself.
type MemberState struct {
	Name, Zone, Region       string
	Address                  string  // where it hears others
	Boot                     uint64  // of its starts, from 1; never goes down
	Incarnation              uint64  // drawn at the start, against two processes that count alike
	Heartbeat                uint64  // of its words in this life
	AgeMillis                float64 // since its start, ms
	Phase                    uint8
	EndpointsVersion         uint64 // version of the list that it has
	PlacedLoad               uint64 // load that it placed and figures may not hold yet, microseconds of work a second
	WaitingClients, Sessions uint32 // clients turned away in the last second and not served; links that stand
	OrderNumber              uint64 // number of the operators' last order to it, and whether it is to be empty
	Draining                 bool
}

// Liveness is what is held of a member.
type Liveness uint8

// The states, from the best.
const (
	Alive Liveness = iota
	Suspected
	Gone
)

func (s Liveness) String() string { return [...]string{"alive", "suspected", "gone"}[s] }

// Member is one relay as this one sees it.
type Member struct {
	MemberState
	Liveness    Liveness
	HeardAt     float64 // when its word last was news here; of this relay's clock
	since       float64 // of the word's age: when it was
	ClockOffset float64 // what its clock was ahead of this relay's, by its own last datagram that came; NaN: none did
	bound       string  // address by which it answered, which goes before the one it says
	place       *list.Element
}

// Datagram is to be sent.
type Datagram struct {
	To   string
	Data []byte
}

const (
	version    = 2
	period     = 200.0
	fanOut     = 2
	mostFrame  = 1200 // bytes, under what any way takes whole
	mostBack   = 50   // answers a second: against a flood having this relay flood others
	mostNames  = 4096
	mostText   = 64
	tag        = 16
	header     = 4 + 1 + 2 + 8
	suspectMin = 1200.0 // without news of a relay it is suspected, at the least
	goneTimes  = 2.0    // that time, and it is held to be gone
	rounds     = 6.0    // times the mean time between news of one relay, before it is suspected
	forget     = 600000.0
	asleep     = 1000.0 // between two ticks: this process was stopped, and nobody else's silence counts
	goneAsk    = 10     // one in so many datagrams goes to one that is gone: islands meet again so
	mostWords  = 20     // of a datagram, as a rule: for the time that news takes
	// of the latest words, that one datagram leaves to others: against all passing on the same
	passOver = 0.6
)

var magic = [4]byte{'v', 's', 'p', version}

// Counts is what was seen on the wire.
type Counts struct {
	Sent            uint64 `json:"Sent"`
	SentBytes       uint64 `json:"SentBytes"`
	Received        uint64 `json:"Heard"`
	ReceivedBytes   uint64 `json:"HeardBytes"`
	Unauthenticated uint64 `json:"Refused"`
	Malformed       uint64 `json:"Strange"`
}

// View is one relay's view.
type View struct {
	own             MemberState
	key             []byte
	chance          *rand.Rand
	began           float64
	seeds           []string
	bound           map[string]string // name by seed
	members         map[string]*Member
	names           []string // sorted
	next            float64
	ticked          float64
	recent          *list.List // of *Member, whose word was news last first
	backs           float64    // answers left
	backsAt         float64
	Counts          Counts
	ClockOffset     float64 // what the machine's clock is ahead of the times that come in
	SeedsOnly       bool    // others are reached by the seeds' addresses alone
	DuplicateSeenAt float64 // when another process under this relay's name was last heard; 0: never
}

// New starts with what this relay says of itself, where others may be, and the key that all share.
func New(now float64, own MemberState, seeds []string, key []byte, chance *rand.Rand) *View {
	own.Boot = max(own.Boot, 1)
	return &View{own: own, key: key, chance: chance, began: now, seeds: seeds, bound: map[string]string{},
		members: map[string]*Member{}, recent: list.New(), next: now, ticked: now, backs: mostBack, backsAt: now}
}

// LocalState is this relay's word as it stands.
func (p *View) LocalState() MemberState { return p.own }

// SetLocalState changes what this relay says of itself, from the next datagram on. Name, boot, life and beat stay.
func (p *View) SetLocalState(w MemberState) {
	w.Name, w.Boot, w.Incarnation, w.Heartbeat = p.own.Name, p.own.Boot, p.own.Incarnation, p.own.Heartbeat
	w.OrderNumber, w.Draining = laterOrder(w, p.own)
	p.own = w
}

// RestoreBoot takes the boot that the disk had, as it is read later than the first word may go out.
func (p *View) RestoreBoot(boot uint64) {
	if boot >= p.own.Boot {
		p.own.Boot, p.own.Heartbeat = boot+1, 0
	}
}

// Address is where a member can be reached; empty: nowhere.
func (p *View) Address(m Member) string { return p.address(&m) }

// NextTick is when Tick is due.
func (p *View) NextTick() float64 { return p.next }

// Members are the others as they are held now, by name.
func (p *View) Members(now float64) []Member {
	all := make([]Member, 0, len(p.names))
	for _, n := range p.names {
		m := *p.members[n]
		m.Liveness = p.state(now, &m)
		m.AgeMillis += now - m.since
		all = append(all, m)
	}
	return all
}

// patience is how long a relay may be without news here before it is suspected: some times what news of one
// of so many takes, as each datagram has room for a part of them only.
func (p *View) patience() float64 {
	news := float64(len(p.names)) / (mostWords * 2 * fanOut) * period
	return max(suspectMin, rounds*(news+period))
}

func (p *View) state(now float64, m *Member) Liveness {
	switch quiet := now - m.HeardAt; {
	case quiet < p.patience():
		return Alive
	case quiet < goneTimes*p.patience():
		return Suspected
	}
	return Gone
}

// Tick gives what is to be sent now, where a period is over.
func (p *View) Tick(now float64) (out []Datagram) {
	if now < p.next {
		return nil
	}
	if gap := now - p.ticked - period; gap > asleep {
		for _, m := range p.members {
			m.HeardAt += gap
		}
	}
	p.ticked = now
	p.next = now + period*(0.9+0.2*p.chance.Float64())
	p.own.Heartbeat++
	for _, to := range p.targets(now) {
		out = append(out, p.frame(now, to, true))
	}
	p.clean(now)
	return out
}

// targets draws whom to tell: members that live, by chance; now and then one that is gone; and each time a
// seed that has not answered yet.
func (p *View) targets(now float64) (to []string) {
	add := func(address string) {
		if address != "" && !slices.Contains(to, address) {
			to = append(to, address)
		}
	}
	var lives, gone, mute []string
	for _, n := range p.names {
		if m := p.members[n]; p.state(now, m) != Gone {
			lives = append(lives, p.address(m))
		} else {
			gone = append(gone, p.address(m))
		}
	}
	for _, s := range p.seeds {
		if p.bound[s] == "" {
			mute = append(mute, s)
		}
	}
	pick := func(from []string) {
		if len(from) > 0 {
			add(from[p.chance.Intn(len(from))])
		}
	}
	for range fanOut {
		pick(lives)
	}
	pick(mute)
	if p.chance.Intn(goneAsk) == 0 || len(lives) == 0 {
		pick(gone)
	}
	return to
}

func (p *View) address(m *Member) string {
	if p.SeedsOnly {
		return m.bound
	}
	return cmp.Or(m.bound, m.Address)
}

// frame is one datagram: this relay's word, and as many others as there is room for, the latest news first.
func (p *View) frame(now float64, to string, asks bool) Datagram {
	data := append(make([]byte, 0, mostFrame), magic[:]...)
	kind := byte(0)
	if asks {
		kind = 1
	}
	data = append(data, kind, 0, 0) // and how many words
	data = binary.LittleEndian.AppendUint64(data, math.Float64bits(now+p.ClockOffset))
	p.own.AgeMillis = now - p.began
	data = appendWord(data, p.own)
	count := 1
	for e := p.recent.Front(); e != nil; e = e.Next() {
		m := e.Value.(*Member)
		if p.state(now, m) == Gone {
			break // its word would only look like news elsewhere; and so would all that are older
		}
		if len(p.names) > 2*mostWords && p.chance.Float64() < passOver {
			continue
		}
		w := m.MemberState
		w.AgeMillis += now - m.since
		if longer := appendWord(data, w); len(longer) <= mostFrame-tag {
			data = longer
			count++
		} else {
			break
		}
	}
	binary.LittleEndian.PutUint16(data[5:], uint16(count))
	data = p.seal(data)
	p.Counts.Sent++
	p.Counts.SentBytes += uint64(len(data))
	return Datagram{to, data}
}

func (p *View) seal(data []byte) []byte {
	h := hmac.New(sha256.New, p.key)
	h.Write(data)
	return h.Sum(data)[:len(data)+tag]
}

// Receive takes a datagram, from that address, and gives the answer to it. One that has not the key, is of
// another version or of a form that can't be changes nothing.
func (p *View) Receive(now float64, from string, data []byte) (out []Datagram) {
	p.Counts.Received++
	p.Counts.ReceivedBytes += uint64(len(data))
	if len(data) < header+tag || len(data) > mostFrame || [4]byte(data) != magic {
		p.Counts.Malformed++
		return nil
	}
	body := data[:len(data)-tag]
	if sealed := p.seal(slices.Clone(body)); !hmac.Equal(sealed[len(body):], data[len(body):]) {
		p.Counts.Unauthenticated++
		return nil
	}
	words, err := readWords(body[header:], int(binary.LittleEndian.Uint16(body[5:])))
	if err != nil || len(words) == 0 {
		p.Counts.Malformed++
		return nil
	}
	for i, w := range words {
		p.hear(now, w, i == 0)
	}
	clock := math.Float64frombits(binary.LittleEndian.Uint64(body[7:]))
	if m := p.members[words[0].Name]; m != nil && !math.IsNaN(clock) && !math.IsInf(clock, 0) {
		m.ClockOffset = clock - now // less the way, which is short
	}
	if slices.Contains(p.seeds, from) {
		p.bind(from, words[0].Name)
	}
	if body[4] == 1 && p.answers(now) {
		out = append(out, p.frame(now, from, false))
	}
	return out
}

// bind takes by which seed's address a member answers.
func (p *View) bind(seed, name string) {
	if m := p.members[name]; m != nil {
		p.bound[seed], m.bound = name, seed
	}
}

// answers bounds how many are given.
func (p *View) answers(now float64) bool {
	p.backs = min(p.backs+(now-p.backsAt)*mostBack/1000, mostBack)
	p.backsAt = now
	if p.backs < 1 {
		return false
	}
	p.backs--
	return true
}

// hear takes a word, the sender's own or one that it passes on.
func (p *View) hear(now float64, w MemberState, direct bool) {
	if w.Name == p.own.Name {
		p.aboutSelf(now, w, direct)
		return
	}
	m := p.members[w.Name]
	if m == nil {
		if len(p.names) >= mostNames {
			return
		}
		m = &Member{MemberState: w, HeardAt: now, since: now, ClockOffset: math.NaN()}
		p.members[w.Name] = m
		m.place = p.recent.PushFront(m)
		at, _ := slices.BinarySearch(p.names, w.Name)
		p.names = slices.Insert(p.names, at, w.Name)
		return
	}
	if newer(w, m.MemberState) {
		w.OrderNumber, w.Draining = laterOrder(w, m.MemberState)
		m.MemberState, m.HeardAt, m.since = w, now, now
		p.recent.MoveToFront(m.place)
	}
}

// newer tells whether one word is later than another on the same relay: by its boot, by its beat within one
// life; of two lives with one boot, as a copied disk makes them, always the same one is taken.
func newer(a, b MemberState) bool {
	if a.Boot != b.Boot {
		return a.Boot > b.Boot
	}
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Heartbeat > b.Heartbeat
}

// laterOrder is the order of the higher number, and of equal ones the stricter: what a relay has forgotten of
// its own orders, the others still know.
func laterOrder(a, b MemberState) (uint64, bool) {
	switch {
	case a.OrderNumber > b.OrderNumber:
		return a.OrderNumber, a.Draining
	case b.OrderNumber > a.OrderNumber:
		return b.OrderNumber, b.Draining
	}
	return a.OrderNumber, a.Draining || b.Draining
}

// aboutSelf takes what others know of this relay's name: of former lives, whose boot this one must be above,
// or of a twin that lives now.
func (p *View) aboutSelf(now float64, w MemberState, direct bool) {
	p.own.OrderNumber, p.own.Draining = laterOrder(w, p.own)
	if w.Incarnation == p.own.Incarnation {
		return
	}
	if direct {
		p.DuplicateSeenAt = now
	}
	if w.Boot >= p.own.Boot {
		p.own.Boot = w.Boot + 1
		p.own.Heartbeat = 0
	}
}

// clean forgets who has been gone for long.
func (p *View) clean(now float64) {
	p.names = slices.DeleteFunc(p.names, func(n string) bool {
		if m := p.members[n]; now > m.HeardAt+forget {
			for seed, name := range p.bound {
				if name == n {
					delete(p.bound, seed)
				}
			}
			p.recent.Remove(m.place)
			delete(p.members, n)
			return true
		}
		return false
	})
}

func appendWord(to []byte, w MemberState) []byte {
	for _, text := range []string{w.Name, w.Zone, w.Region, w.Address} {
		to = append(to, byte(min(len(text), mostText)))
		to = append(to, text[:min(len(text), mostText)]...)
	}
	flags := w.Phase << 1
	if w.Draining {
		flags |= 1
	}
	to = append(to, flags)
	to = binary.LittleEndian.AppendUint64(to, w.Incarnation)
	age := uint64(min(max(w.AgeMillis, 0), 1e15))
	for _, n := range []uint64{w.Boot, w.Heartbeat, age, w.EndpointsVersion, uint64(w.WaitingClients), uint64(w.Sessions), w.OrderNumber,
		w.PlacedLoad} {
		to = binary.AppendUvarint(to, n)
	}
	return to
}

var errWords = errors.New("peers: words that can't be")

func readWords(data []byte, count int) (words []MemberState, err error) {
	for range count {
		var w MemberState
		for _, to := range []*string{&w.Name, &w.Zone, &w.Region, &w.Address} {
			if len(data) < 1 || data[0] > mostText || len(data) < 1+int(data[0]) {
				return nil, errWords
			}
			*to, data = string(data[1:1+data[0]]), data[1+data[0]:]
		}
		if len(data) < 9 || w.Name == "" {
			return nil, errWords
		}
		w.Phase, w.Draining, w.Incarnation = data[0]>>1, data[0]&1 == 1, binary.LittleEndian.Uint64(data[1:])
		data = data[9:]
		var numbers [8]uint64
		for i := range numbers {
			n, size := binary.Uvarint(data)
			if size <= 0 {
				return nil, errWords
			}
			numbers[i], data = n, data[size:]
		}
		if numbers[4] > math.MaxUint32 || numbers[5] > math.MaxUint32 || numbers[0] == math.MaxUint64 {
			return nil, errWords
		}
		w.Boot, w.Heartbeat, w.AgeMillis, w.EndpointsVersion = numbers[0], numbers[1], float64(numbers[2]), numbers[3]
		w.WaitingClients, w.Sessions, w.OrderNumber = uint32(numbers[4]), uint32(numbers[5]), numbers[6]
		w.PlacedLoad = numbers[7]
		words = append(words, w)
	}
	if len(data) > 0 {
		return nil, errWords
	}
	return words, nil
}

// Seal and Open guard what is asked of another relay over a connection, by the same key.
func Seal(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(body)
	return h.Sum(slices.Clone(body))
}

// Open gives the body of what Seal made, or why it is refused.
func Open(key, sealed []byte) ([]byte, error) {
	if len(sealed) < sha256.Size {
		return nil, fmt.Errorf("peers: %d bytes can't be sealed", len(sealed))
	}
	body := sealed[:len(sealed)-sha256.Size]
	if !hmac.Equal(Seal(key, body)[len(body):], sealed[len(body):]) {
		return nil, errors.New("peers: another key")
	}
	return body, nil
}
