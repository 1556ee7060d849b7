// Package config holds the typed tree of settings that operators and teams
// change while the fleet runs: teams, workspaces, services, upstreams and
// model versions. It parses and checks objects, orders them by version and
// derives what routers need. Start-up settings of a process are not here.
package config
