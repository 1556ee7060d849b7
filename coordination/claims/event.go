package claims

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Version is the version of an object in the platform; zero means that the
// object does not exist.
type Version uint64

// Event is an input of the claim machine.
type Event interface{ event() }

// ClaimWanted asks for a claim. The machine answers with one Decide.
type ClaimWanted struct {
	Request Request
}

// ClaimWithdrawn reports that the claim will not be used, because its request
// was refused or its caller disconnected, and that nothing was sent. It may
// come before or after Decide. No Decide follows it.
type ClaimWithdrawn struct {
	Request Request
}

// RequestFinished reports the result of a request that had its claim.
type RequestFinished struct {
	Request Request
	Ran     result.Ran
}

// ReadOutcome is the way in which a read ended.
type ReadOutcome uint8

// Outcomes of a read. An object that does not exist is read as empty.
const (
	ReadOK ReadOutcome = iota + 1
	ReadFailed
)

// StoredSegment is a segment as stored in the platform.
type StoredSegment struct {
	Slot    int
	Version Version
	Value   []byte
}

// ReadDone answers a Read. Version and Value are those of the requested slot,
// which is the first one if the whole chain was requested.
type ReadDone struct {
	Shard   int
	Outcome ReadOutcome
	Version Version
	Value   []byte
	// Others holds the other slots of a whole chain.
	Others []StoredSegment
}

// WriteOutcome is the way in which a conditional write ended.
type WriteOutcome uint8

// Outcomes of a conditional write.
const (
	WriteOK WriteOutcome = iota + 1
	// WriteConflict means that the object has another version and nothing was
	// written.
	WriteConflict
	// WriteUnavailable means that the write certainly had no effect.
	WriteUnavailable
	// WriteUnknown means that the write may have taken effect or may still do
	// so later.
	WriteUnknown
)

// WriteDone answers a Write.
type WriteDone struct {
	Shard   int
	Outcome WriteOutcome
	// Version is the object's new version after WriteOK.
	Version Version
}

// FleetResized reports the number of routers that share the platform.
type FleetResized struct {
	Routers int
}

// FlushRequested makes delayed completions due at once, before a shutdown.
type FlushRequested struct{}

// Tick lets the machine process timeouts. The host sends one at the time of
// each Wake.
type Tick struct{}

func (ClaimWanted) event()     {}
func (ClaimWithdrawn) event()  {}
func (RequestFinished) event() {}
func (ReadDone) event()        {}
func (WriteDone) event()       {}
func (FleetResized) event()    {}
func (FlushRequested) event()  {}
func (Tick) event()            {}

// Action is an instruction to the host.
type Action interface{ action() }

// Read fetches one segment of a shard or its whole chain. The host answers with
// ReadDone.
type Read struct {
	Shard int
	Slot  int
	// WholeChain requests every slot of the shard as of a single version of the
	// store.
	WholeChain bool
}

// Write replaces a segment if it has the expected version. The host answers
// with WriteDone.
type Write struct {
	Shard    int
	Slot     int
	Expected Version
	Value    []byte
}

// Decide answers a ClaimWanted. A result of OK means that the request may run.
type Decide struct {
	Attempt state.AttemptID
	Result  result.Result
}

// Wake asks for a Tick at the given time. A later Wake replaces it.
type Wake struct {
	At time.Time
}

func (Read) action()   {}
func (Write) action()  {}
func (Decide) action() {}
func (Wake) action()   {}
