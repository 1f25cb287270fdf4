package entry

import (
	"crypto/rand"
	"fmt"
	"sync"

	"github.com/xdg-go/scram"

	"citronusher.example/citronusher"
)

const (
	scramIterations = 4096
	scramSaltSize   = 16 // bytes
)

// users derives SCRAM credentials from passwords, and caches them for each user.
type users struct {
	password func(user string) (string, bool)

	mu     sync.Mutex
	stored map[string]scram.StoredCredentials
}

func newUsers(password func(user string) (string, bool)) *users {
	return &users{password: password, stored: map[string]scram.StoredCredentials{}}
}

// conversation starts a SCRAM-SHA-256 conversation for user. An unknown user gets random credentials, so that the failure
// is the same as for a wrong password.
func (u *users) conversation(user string) (*scram.ServerConversation, error) {
	credentials, err := u.credentials(user)
	if err != nil {
		return nil, err
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return credentials, nil })
	if err != nil {
		return nil, fmt.Errorf("scram: %w", err)
	}
	return server.NewConversation(), nil
}

func (u *users) credentials(user string) (scram.StoredCredentials, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if stored, ok := u.stored[user]; ok {
		return stored, nil
	}
	password, known := u.password(user)
	if !known {
		password = rand.Text()
	}
	salt := make([]byte, scramSaltSize)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("%w: user %q: %w", citronusher.ErrInvalid, user, err)
	}
	stored, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return scram.StoredCredentials{}, fmt.Errorf("scram: %w", err)
	}
	if known {
		u.stored[user] = stored
	}
	return stored, nil
}
