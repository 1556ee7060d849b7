// Package config holds the typed tree of settings that operators and teams
// change while the fleet is running: teams, workspaces, services, upstreams and
// model versions. It parses and checks objects, orders them by version and
// derives the settings that routers need. It does not contain the start-up
// settings of a process.
package config
