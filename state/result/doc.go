// Package result defines the numbered result codes of all final answers. Each
// code also states whether the request ran. The table for callers is in
// docs/RESULTS.md, and a test checks that it matches this package.
package result
