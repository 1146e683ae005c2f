package recordblock

// Limits bounds the size of one block and of one transaction.
type Limits struct {
	Entries          int // machines in one block
	ValueBytes       int // size of one block in JSON, in bytes
	TransactionBytes int // size of all blocks of one transaction in JSON, in bytes
	Ops              int // puts and deletes of one transaction
}

const (
	// maxEntries is the maximum number of machines in a block. It is small because a
	// change of one machine sends the whole block to every controller.
	maxEntries = 64
	// maxTxnBytes is the maximum size of all blocks of one transaction, in bytes.
	maxTxnBytes = 48 << 10
)

// LimitsOf derives the limits from those of the key-value store: the size of a value in
// KiB, and the operations of a transaction. A quarter of the size of a value stays free,
// since the sizes of blocks are estimates.
func LimitsOf(valueKB float64, txnOps int) Limits {
	return Limits{
		Entries:          maxEntries,
		ValueBytes:       int(valueKB * 1024 * 3 / 4),
		TransactionBytes: maxTxnBytes,
		Ops:              max(txnOps, 1),
	}
}
