// Package upstream talks to engines and application workers over HTTP: Client
// sends one attempt and tells truthfully how far it came, and Poller fetches
// load reports.
package upstream
