// Package result holds the numbered result codes of every final answer, with
// what each says about whether the request ran. docs/RESULTS.md is the table
// for callers; a test holds the two together.
package result
