// Package boragewick defines the shared types of a router for language-model
// traffic with long shared prompts. It holds the interfaces that the services
// implement and the data types that they exchange; the packages below it hold
// the implementations.
package boragewick
