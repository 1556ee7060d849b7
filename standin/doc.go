// Package standin groups the small stand-ins that replace the platform, the
// model engines and the application workers in tests and in the development
// fleet. The routers' own code does not import it; tests, the load generator
// and the tools do.
package standin
