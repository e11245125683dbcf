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
	is.True(!ok) // signed with a different key
	signed[0]++
	_, ok = signer.Open(signed)
	is.True(!ok) // changed in transit
	_, ok = signer.Open([]byte("short"))
	is.True(!ok)
	_, err = NewSigner("abcd")
	is.True(err != nil) // key too short
}

// TestKeyFilesAreReloaded checks that new key files are used without a restart, unless
// certificate and key don't match.
func TestKeyFilesAreReloaded(t *testing.T) {
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
	currentName := func() string {
		keys.mu.Lock()
		keys.loadedAt = time.Now().Add(-2 * reloadInterval)
		keys.mu.Unlock()
		_, cert := keys.current()
		return cert.Leaf.Subject.CommonName
	}
	is.Equal(currentName(), "first")
	write(second)
	is.Equal(currentName(), "second")
	write(Source{CA: first.CA, Cert: first.Cert, Key: second.Key}) // key of another certificate
	is.Equal(currentName(), "second")
}

func TestLoadNamesTheBadField(t *testing.T) {
	is := is.New(t)
	_, err := Load(Source{CA: "/no/such/file", Cert: "/no/such/file", Key: "/no/such/file"})
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), "tls.ca"))
}
