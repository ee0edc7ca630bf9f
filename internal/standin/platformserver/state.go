package platformserver

import (
	"encoding/json"
	"io/fs"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/granitebay/granitebay/internal/standin/platformmodel"
)

// stateFileMode lets only the owner read the state.
const stateFileMode = 0o600

// loadState restores the state of the file, if there is one.
func (s *Server) loadState() error {
	if s.options.StateFile == "" {
		return nil
	}
	content, err := os.ReadFile(s.options.StateFile)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "read state file %s", s.options.StateFile)
	}
	var snapshot platformmodel.Snapshot
	if err := json.Unmarshal(content, &snapshot); err != nil {
		return errors.Wrapf(err, "decode state file %s", s.options.StateFile)
	}
	s.model.Restore(time.Now(), snapshot)
	s.saved = s.model.StateVersion()
	s.options.Logger.WithField("revision", snapshot.Revision).Info(logPrefix + "State restored.")
	return nil
}

// saveState writes the state if it changed since it was last written. The file is replaced whole, so that it holds
// either the old state or the new one when the process is killed. It is not synced: it outlasts the process only.
func (s *Server) saveState() error {
	version := s.model.StateVersion()
	if s.options.StateFile == "" || version == s.saved {
		return nil
	}
	content, err := json.Marshal(s.model.Snapshot())
	if err != nil {
		return errors.Wrap(err, "encode state")
	}
	temporary := s.options.StateFile + ".new"
	if err := os.WriteFile(temporary, content, stateFileMode); err != nil {
		return errors.Wrapf(err, "write state file %s", temporary)
	}
	if err := os.Rename(temporary, s.options.StateFile); err != nil {
		return errors.Wrapf(err, "replace state file %s", s.options.StateFile)
	}
	s.saved = version
	return nil
}
