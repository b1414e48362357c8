package hotrestart

import (
	"net"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func acquire(t *testing.T, dir string) *Slot {
	s, err := Acquire(dir)
	require.NoError(t, err)
	t.Cleanup(func() { s.file.Close() })
	return s
}

func TestSeats(t *testing.T) {
	dir := t.TempDir()
	a := acquire(t, dir)
	elder, younger := a.Siblings()
	assert.Equal(t, [2]Process{}, [2]Process{elder, younger}, "alone")
	b := acquire(t, dir)
	_, younger = a.Siblings()
	assert.Equal(t, Process{2, false}, younger)
	elder, _ = b.Siblings()
	assert.Equal(t, Process{1, false}, elder)
	require.NoError(t, b.MarkReady())
	_, younger = a.Siblings()
	assert.Equal(t, Process{2, true}, younger)
	c := acquire(t, dir)
	elder, _ = c.Siblings()
	assert.Equal(t, 2, elder.Number, "the nearest")
	_, younger = a.Siblings()
	assert.Equal(t, 2, younger.Number, "the nearest")

	b.file.Close() // dead, whatever its file says
	_, younger = a.Siblings()
	assert.Equal(t, Process{3, false}, younger)
	a.file.Close()
	elder, younger = c.Siblings()
	assert.Equal(t, [2]Process{}, [2]Process{elder, younger})
	assert.NoFileExists(t, filepath.Join(dir, "valeshift.1.seat"), "taken away")
	assert.Equal(t, 4, acquire(t, dir).number, "no number twice")

	for _, name := range []string{"valeshift.x.seat", "valeshift.9.other", "other.9.seat", "valeshift.-3.seat"} {
		require.NoError(t, os.WriteFile(filepath.Join(dir, name), nil, 0o600))
	}
	_, younger = c.Siblings()
	assert.Equal(t, 4, younger.Number, "files of others")
	_, err := Acquire(filepath.Join(dir, "absent"))
	assert.Error(t, err)
}

// Many at once get a number each.
func TestSeatsAtOnce(t *testing.T) {
	dir := t.TempDir()
	got := make(chan *Slot)
	for range 20 {
		go func() {
			s, _ := Acquire(dir)
			got <- s
		}()
	}
	numbers := map[int]bool{}
	for range 20 {
		s := <-got
		require.NotNil(t, s)
		defer s.file.Close()
		numbers[s.number] = true
	}
	assert.Len(t, numbers, 20)
}

func TestLeft(t *testing.T) {
	dir := t.TempDir()
	a, b := acquire(t, dir), acquire(t, dir)
	from := time.Now()
	_, err := b.ReceiveHandoff(50 * time.Millisecond)
	assert.ErrorIs(t, err, os.ErrNotExist)
	assert.GreaterOrEqual(t, time.Since(from), 50*time.Millisecond)
	go func() {
		time.Sleep(20 * time.Millisecond)
		a.SendHandoff(2, []byte("what I know"))
	}()
	record, err := b.ReceiveHandoff(5 * time.Second)
	require.NoError(t, err)
	assert.Equal(t, "what I know", string(record))
	_, err = b.ReceiveHandoff(0)
	assert.ErrorIs(t, err, os.ErrNotExist, "taken once")
	assert.ErrorContains(t, a.SendHandoff(2, make([]byte, maxRecordBytes+1)), "at the most")
	require.NoError(t, os.WriteFile(b.path(2, handoffKind), make([]byte, maxRecordBytes+1), 0o600))
	_, err = b.ReceiveHandoff(0)
	assert.ErrorContains(t, err, "more than")
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.Len(t, entries, 2, "nothing but the seats is left behind")
}

func TestListener(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f, err := l.(*net.TCPListener).File()
	require.NoError(t, err)
	fd, err := syscall.Dup(int(f.Fd()))
	require.NoError(t, err)
	f.Close()
	mine, err := InheritListener(fd)
	require.NoError(t, err)
	require.NoError(t, mine.Close())
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err, "the other process's is left alone")
	c.Close()
	l.Close()

	for name, open := range map[string]func() int{
		"closed": func() int { return 987 },
		"a file": func() int {
			fd, _ := syscall.Open(os.DevNull, syscall.O_RDONLY, 0)
			return fd
		},
		"not listening": func() int {
			fd, _ := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
			return fd
		},
	} {
		fd := open()
		_, err := InheritListener(fd)
		assert.ErrorContains(t, err, "a listening socket expected", name)
		syscall.Close(fd)
	}
}

// Two connections go from one process to the other with a record, and stay where they are if that one won't
// have them.
func TestPass(t *testing.T) {
	dir := t.TempDir()
	a, b := acquire(t, dir), acquire(t, dir)
	_, err := a.OpenChannel(2)
	assert.Error(t, err, "nobody listens there")
	var got []string
	var kept [FilesPerSession]*os.File
	alone := make(chan bool, 1)
	require.NoError(t, b.ReceiveSessions(func(record []byte, files [FilesPerSession]*os.File) (bool, func()) {
		got = append(got, string(record))
		if string(record) != "good" {
			return false, nil
		}
		for i, f := range files {
			fd, _ := syscall.Dup(int(f.Fd()))
			kept[i] = os.NewFile(uintptr(fd), "kept")
		}
		return true, func() { alone <- true }
	}))
	way, err := a.OpenChannel(2)
	require.NoError(t, err)
	defer way.Close()
	var fds [FilesPerSession]int
	var far [FilesPerSession]int
	for i := range fds {
		pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		require.NoError(t, err)
		fds[i], far[i] = pair[0], pair[1]
	}
	gone, err := way.SendSession([]byte("bad"), fds)
	assert.ErrorIs(t, err, ErrRejected)
	assert.False(t, gone)
	gone, err = way.SendSession(make([]byte, maxPacketBytes+1), fds)
	assert.ErrorContains(t, err, "at the most")
	assert.False(t, gone)
	_, _, err = way.conn.WriteMsgUnix([]byte("alone"), syscall.UnixRights(fds[0]), nil)
	require.NoError(t, err)
	answer := make([]byte, 100)
	n, err := way.conn.Read(answer)
	require.NoError(t, err)
	assert.Equal(t, packetRejected, string(answer[:n]), "one descriptor")
	gone, err = way.SendSession([]byte("good"), fds)
	require.NoError(t, err)
	assert.True(t, gone)
	assert.Equal(t, []string{"bad", "good"}, got)
	for i := range fds {
		syscall.Close(fds[i])
		_, err := syscall.Write(far[i], []byte("on"))
		require.NoError(t, err, "it goes on there")
		n, err := kept[i].Read(answer)
		require.NoError(t, err)
		assert.Equal(t, "on", string(answer[:n]))
		kept[i].Close()
		syscall.Close(far[i])
	}
	select {
	case <-alone:
		assert.Fail(t, "alone while the other process holds them")
	default:
	}
	require.NoError(t, way.ConfirmRelease())
	assert.True(t, <-alone)
	require.NoError(t, way.ConfirmRelease(), "said once")
}
