// Package upstream holds the parts that the stand-ins of engines and of
// application workers share: slots filled in order of arrival, a ledger of
// every request received, load reports with a lag, and simulated faults.
package upstream
