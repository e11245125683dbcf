package secure

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSigner(t *testing.T) {
	is := is.New(t)
	signer, err := NewSigner(strings.Repeat("ab", 32))
	is.NoErr(err)
	other, err := NewSigner(strings.Repeat("cd", 32))
	is.NoErr(err)
	signed := signer.Sign([]byte("beat"))
	data, ok := signer.Open(signed)
	is.True(ok)
	is.Equal(string(data), "beat")
	_, ok = other.Open(signed)
	is.True(!ok) // another key
	signed[0]++
	_, ok = signer.Open(signed)
	is.True(!ok) // changed on the way
	_, ok = signer.Open([]byte("short"))
	is.True(!ok)
	_, err = NewSigner("abcd")
	is.True(err != nil) // too short a key
}

// New key files are used without a restart; ones that do not fit are not.
func TestKeysAreReadAgain(t *testing.T) {
	is := is.New(t)
	authority, err := NewAuthority()
	is.NoErr(err)
	first, err := authority.Issue("first", RoleAgent, time.Hour)
	is.NoErr(err)
	second, err := authority.Issue("second", RoleAgent, time.Hour)
	is.NoErr(err)
	dir := t.TempDir()
	files := Source{CA: filepath.Join(dir, "ca"), Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	write := func(source Source) {
		is.NoErr(os.WriteFile(files.CA, []byte(source.CA), 0o600))
		is.NoErr(os.WriteFile(files.Cert, []byte(source.Cert), 0o600))
		is.NoErr(os.WriteFile(files.Key, []byte(source.Key), 0o600))
	}
	write(first)
	keys, err := Load(files)
	is.NoErr(err)
	nameNow := func() string {
		keys.mu.Lock()
		keys.loadedAt = time.Now().Add(-2 * rereadEvery)
		keys.mu.Unlock()
		_, cert := keys.current()
		return cert.Leaf.Subject.CommonName
	}
	is.Equal(nameNow(), "first")
	write(second)
	is.Equal(nameNow(), "second")
	write(Source{CA: first.CA, Cert: first.Cert, Key: second.Key}) // key of another certificate
	is.Equal(nameNow(), "second")
}

func TestBadKeysAreNamed(t *testing.T) {
	is := is.New(t)
	_, err := Load(Source{CA: "/no/such/file", Cert: "/no/such/file", Key: "/no/such/file"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "tls.ca"))
}
