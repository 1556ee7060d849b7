// Package upstream holds what the stand-ins of engines and of application
// workers have in common: slots filled in order of arrival, a ledger of every
// request received, the load report and its lag, and faults to order.
package upstream
