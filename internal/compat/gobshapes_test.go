package compat

// The structs of this file are frozen copies of the messages between controllers. Gob
// encodes structs by field name, so only the field names and types matter. Named types are
// replaced by basic types, and an embedded struct by a field with the name of its type,
// which is how gob encodes it.

type gobTaskID struct {
	Job   string
	Index uint32
}

type gobPlacement struct {
	Task      gobTaskID
	Attempt   uint64
	Machine   string
	Epoch     uint64
	EstimateS float64
	CPUs      float64
	GPUs      float64
	GB        float64
	Tenure    uint64
	Together  bool
	Level     int
}

type gobPlace struct {
	Number        uint64
	Term          uint64
	Configuration uint64
	Tasks         []gobPlacement
}

type gobTaskRef struct {
	Task    gobTaskID
	Attempt uint64
	Machine string
}

type gobStop struct {
	TaskRef gobTaskRef
	Kill    bool
	GraceS  float64
}

type gobTaskEvent struct {
	TaskRef gobTaskRef
	What    uint8
	Cause   string
	Saved   bool
	LeftS   float64
}

type gobAmount struct {
	CPUs float64
	GPUs float64
	GB   float64
}

type gobHeld struct {
	Task    gobTaskID
	Attempt uint64
	State   string
	Cause   string
	Saved   bool
	Team    string
	Need    gobAmount
}

type gobInventory struct {
	Term    uint64
	Tenure  uint64
	Machine string
	Epoch   uint64
	Upto    uint64
	Held    []gobHeld
}

type gobUse struct {
	Level int
	CPUs  float64
	GPUs  float64
	GB    float64
}

type gobWait struct {
	Machine string
	Add     float64
	Taken   []gobUse
}

type gobAdded struct {
	Term    uint64
	Numbers map[string]uint64
	Waits   []gobWait
}

type gobPiece struct {
	Stream uint64
	From   uint64
	Upto   uint64
}

type gobRun struct {
	Task    gobTaskID
	Attempt uint64
	Ends    int64
	Need    gobAmount
	Level   int
	For     string
	Sure    bool
}

type gobMachineState struct {
	Machine  string
	Epoch    uint64
	Wait     float64
	Queue    []float64
	FreeCPUs float64
	FreeGPUs float64
	FreeGB   float64
	Uses     []gobUse
	Ending   gobUse
	Heard    bool
	Held     int
	Queued   int
	Closed   bool
	Suspect  bool
	Draining bool
	Noticed  bool
	Silence  uint8
	IdleS    float64
	Images   []string
	Runs     []gobRun
}

type gobProgress struct {
	Job     string
	Done    uint32
	Running uint32
	Level   int
	Failing bool
}

type gobDemand struct {
	Job       string
	Unstarted int
	Level     int
	EstimateS float64
	OldestS   float64
	Zone      string
}

type gobLoad struct {
	LateMS  float64
	Leaving bool
}

type gobRatesharingAmount struct {
	Requests float64
	Writes   float64
}

type gobAsk struct {
	At   int64
	Want gobRatesharingAmount
}

type gobLoan struct {
	Asked  int64
	Amount gobRatesharingAmount
}

type gobHold struct {
	For     string
	Machine string
	Tasks   int
	Need    gobAmount
	Level   int
	Clear   int64
	From    int64
	Until   int64
	Ends    int64
}

type gobHolds struct {
	Number uint64
	List   []gobHold
}

type gobRelay struct {
	Term          uint64
	Acting        bool
	Configuration uint64
	HaveMachines  uint64
	HaveJobs      uint64
	Machines      gobPiece
	States        []gobMachineState
	Handled       map[string]uint64
	Jobs          gobPiece
	Progress      []gobProgress
	Demand        []gobDemand
	Load          gobLoad
	Ask           gobAsk
	Loan          *gobLoan
	Holds         *gobHolds
	HaveHolds     uint64
}

type gobMachine struct {
	Session uint64
	Address string
	Type    string
	Zone    string
	Spot    bool
}

type gobRecordChange struct {
	Term    uint64
	Machine string
	Tenure  uint64
	From    string
	Have    uint64
	To      *gobMachine
}

type gobBits struct {
	Bits string
}

type gobDoneTasks struct {
	Job    string
	Chunks map[int]gobBits
}

type gobTenured struct {
	Share  int
	Tenure uint64
}

type gobMove struct {
	Term   uint64
	Shares []gobTenured
	To     string
	Cause  string
}

type gobHandedEntry struct {
	Task          gobTaskID
	Attempt       uint64
	EstimateS     float64
	Need          gobAmount
	Found         bool
	Age           int64
	Ran           int64
	Level         int
	Guessed       bool
	Together      bool
	From          string
	Configuration uint64
	Sent          bool
	Direct        uint64
	Present       bool
	State         string
	Cause         string
	Saved         bool
	Kill          bool
	GraceS        float64
	Reap          bool
	Noticed       bool
}

type gobHandedQueue struct {
	Machine  string
	Epoch    uint64
	Session  uint64
	Seq      uint64
	Seen     uint64
	Entries  []gobHandedEntry
	Known    bool
	Sole     bool
	Everseen bool
	NoticeS  *float64
	Draining bool
	Suspect  bool
	Failed   []string
	Images   []string
	Idle     int64
}

type gobHand struct {
	Term    uint64
	Tenured gobTenured
	Epoch   uint64
	Piece   int
	Pieces  int
	Queues  []gobHandedQueue
}

type gobPeerMessage struct {
	Place     *gobPlace
	Stop      *gobStop
	Event     *gobTaskEvent
	Released  []gobTaskRef
	Forget    *gobTaskRef
	Inventory *gobInventory
	Added     *gobAdded
	Relay     *gobRelay
	Drain     *string
	Record    *gobRecordChange
	AskTable  bool
	Done      *gobDoneTasks
	Move      *gobMove
	Hand      *gobHand
	Table     []gobWait
}

type gobBatch struct {
	From        string
	FromSession uint64
	ToSession   uint64
	Term        uint64
	Shares      uint64
	First       uint64
	Messages    []gobPeerMessage
}

type gobSubmission struct {
	Body []uint8
}

type gobAnswer struct {
	Status      int
	Body        []uint8
	RetryAfterS int
}
