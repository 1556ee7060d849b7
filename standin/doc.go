// Package standin groups the small stand-ins that take the place of the
// platform, the model engines and the application workers in tests and in
// the development fleet. Nothing of the product imports it.
package standin
