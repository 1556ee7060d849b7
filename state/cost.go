package state

// Cost is an amount of work done for a workspace, in thousandths of the
// service's cost unit. The unit is a weighted token for engines and a second of
// busy time for workers. Costs of different services must not be added.
type Cost int64

// CostUnit is one whole cost unit.
const CostUnit Cost = 1000
