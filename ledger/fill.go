package ledger

// fill gives a workspace that has never had a grant its whole burst.
func (a *account) fill() {
	a.reserved = 0
	a.reservedUntil = a.at
	a.level = a.burst
}
