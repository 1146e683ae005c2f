package recordblock

// Limits bound what is written at once.
type Limits struct {
	Entries          int // machines in one block
	ValueBytes       int // size of one block in JSON
	TransactionBytes int // size of all blocks of one transaction
	Ops              int // puts and deletes of one transaction
}

const (
	// maxEntries bounds a block: a change of one of its machines is sent to every
	// controller together with all others.
	maxEntries = 64
	// maxTxnBytes bounds the blocks of one transaction.
	maxTxnBytes = 48 << 10
)

// LimitsOf returns limits for those of the key-value store. A quarter of the size of a
// value stays free, since sizes are estimated rather than measured.
func LimitsOf(valueKB float64, txnOps int) Limits {
	return Limits{
		Entries:          maxEntries,
		ValueBytes:       int(valueKB * 1024 * 3 / 4),
		TransactionBytes: maxTxnBytes,
		Ops:              max(txnOps, 1),
	}
}
