package boragewick

// MemoryBudget counts the bytes that a process holds for callers and endpoints, by the
// owner of the requests.
type MemoryBudget interface {
	// Admit promises room for a request that may bring n bytes. If there is none it returns
	// ErrOverloaded, as a RetryError. Each promise is ended by Withdraw.
	Admit(owner string, n int64) error
	// Withdraw ends the promise of n bytes that have arrived or will not arrive.
	Withdraw(owner string, n int64)
	// Hold counts n more bytes as held, or fewer if n is negative. It refuses nothing.
	Hold(owner string, n int64)
}
