package agent

import (
	"crypto/sha256"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/oklog/ulid/v2"
	"k8s.io/apimachinery/pkg/util/validation/field"
)

// Names of the fields of a CallerRequest as they appear in errors.
const (
	fieldTenant         = "tenant"
	fieldIdempotencyKey = "idempotency_key"
	fieldLabels         = "labels"
	fieldModel          = "model"
	fieldAdapter        = "adapter"
	fieldPrompt         = "prompt"
	fieldMaxTokens      = "max_tokens"
	fieldDeadline       = "deadline"
)

const (
	maxKeyLength   = 255
	uuidVersion    = 7
	allowedTimeKey = "a ULID (26 characters) or a UUIDv7, because work that may not be repeated needs a key that carries its time"
)

// identity makes the ULID of a request from its idempotency key.
//
// Without a key the ULID is new. A ULID or UUIDv7 is taken as it is, so that the same key is the same request through
// any agent and router. Any other key names the request at this agent only, which is enough for repeatable work.
func identity(now time.Time, request CallerRequest, settings Settings, random *rand.Rand) (ulid.ULID, *field.Error) {
	path := field.NewPath(fieldIdempotencyKey)
	key := request.IdempotencyKey
	if key == "" {
		return newULID(now, random), nil
	}
	if len(key) > maxKeyLength {
		return ulid.ULID{}, field.TooLong(path, key, maxKeyLength)
	}
	id, carriesTime := parseTimedKey(key)
	if !carriesTime {
		if !request.Repeatable {
			return ulid.ULID{}, field.Invalid(path, key, "must be "+allowedTimeKey)
		}
		return hashedULID(now, request.Tenant, key), nil
	}
	created := ulid.Time(id.Time())
	if created.After(now.Add(settings.KeyClockMargin)) {
		return ulid.ULID{}, field.Invalid(path, key, "must not carry a time more than "+settings.KeyClockMargin.String()+" ahead of the agent's clock")
	}
	if created.Before(now.Add(-settings.KeyWindow)) {
		return ulid.ULID{}, field.Invalid(path, key, "must not carry a time more than "+settings.KeyWindow.String()+" ago")
	}
	return id, nil
}

// parseTimedKey reads a ULID or a UUIDv7. Both hold 48 bits of Unix milliseconds followed by 80 other bits.
func parseTimedKey(key string) (ulid.ULID, bool) {
	if id, err := ulid.ParseStrict(key); err == nil {
		return id, true
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return ulid.ULID{}, false
	}
	return ulid.ULID(id), true
}

func newULID(now time.Time, random *rand.Rand) ulid.ULID {
	var id ulid.ULID
	// The error is for times after the year 10889.
	_ = id.SetTime(ulid.Timestamp(now))
	for i := 6; i < len(id); i++ {
		id[i] = byte(random.Uint32())
	}
	return id
}

func hashedULID(now time.Time, tenant, key string) ulid.ULID {
	var id ulid.ULID
	_ = id.SetTime(ulid.Timestamp(now))
	digest := sha256.Sum256([]byte(tenant + "/" + key))
	copy(id[6:], digest[:])
	return id
}
