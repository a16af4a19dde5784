// Package filler sets defaults for fields that settings leave out.
package filler

// Zero sets a field to value if it has the zero value of its type.
func Zero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
