package claims

import (
	"time"

	"github.com/figstile/figstile/state"
	"github.com/figstile/figstile/state/result"
)

// Version is the platform's version of an object; zero means none.
type Version uint64

// Event is something that happened to a router's claims.
type Event interface{ event() }

// ClaimWanted asks for a claim. The machine answers with one Decide.
type ClaimWanted struct {
	Request Request
}

// ClaimWithdrawn says that the claim will not be used: its request is refused or
// its caller left, and nothing was sent. It may come before or after Decide;
// no Decide follows it.
type ClaimWithdrawn struct {
	Request Request
}

// RequestFinished says what became of a request that had its claim.
type RequestFinished struct {
	Request Request
	Ran     result.Ran
}

// ReadOutcome tells how a read ended.
type ReadOutcome uint8

// The outcomes of a read. An object that does not exist is read as empty.
const (
	ReadOK ReadOutcome = iota + 1
	ReadFailed
)

// StoredSegment is a segment as the platform holds it.
type StoredSegment struct {
	Slot    int
	Version Version
	Value   []byte
}

// ReadDone answers a Read. Version and Value are those of the slot asked for,
// which is the first one if the whole chain was.
type ReadDone struct {
	Shard   int
	Outcome ReadOutcome
	Version Version
	Value   []byte
	// Others are the other slots of a whole chain.
	Others []StoredSegment
}

// WriteOutcome tells how a conditional write ended.
type WriteOutcome uint8

// The outcomes of a conditional write.
const (
	WriteOK WriteOutcome = iota + 1
	// WriteConflict: the object has another version; nothing was written.
	WriteConflict
	// WriteUnavailable: the write surely had no effect.
	WriteUnavailable
	// WriteUnknown: the write may have taken effect or may yet do so.
	WriteUnknown
)

// WriteDone answers a Write.
type WriteDone struct {
	Shard   int
	Outcome WriteOutcome
	// Version is the object's new version after WriteOK.
	Version Version
}

// FleetResized says how many routers share the platform.
type FleetResized struct {
	Routers int
}

// FlushRequested makes waiting completions due, before a shutdown.
type FlushRequested struct{}

// Tick lets time pass; the host sends one at each Wake.
type Tick struct{}

func (ClaimWanted) event()     {}
func (ClaimWithdrawn) event()  {}
func (RequestFinished) event() {}
func (ReadDone) event()        {}
func (WriteDone) event()       {}
func (FleetResized) event()    {}
func (FlushRequested) event()  {}
func (Tick) event()            {}

// Action is something the host must do.
type Action interface{ action() }

// Read fetches one segment of a shard or its whole chain; the host answers with
// ReadDone.
type Read struct {
	Shard int
	Slot  int
	// WholeChain asks for every slot of the shard as of one version of the store.
	WholeChain bool
}

// Write replaces a segment if it has the expected version; the host answers
// with WriteDone.
type Write struct {
	Shard    int
	Slot     int
	Expected Version
	Value    []byte
}

// Decide answers a Wanted: OK means that the request may run.
type Decide struct {
	Attempt state.AttemptID
	Result  result.Result
}

// Wake asks for a Tick. A later Wake replaces it.
type Wake struct {
	At time.Time
}

func (Read) action()   {}
func (Write) action()  {}
func (Decide) action() {}
func (Wake) action()   {}
