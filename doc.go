// Package boragewick is the vocabulary of a router for language-model traffic
// with long shared prompts. It holds the interfaces that the services
// implement and the plain types that they pass to each other; implementations
// live in the packages below it.
package boragewick
