// Package filler fills what settings leave out.
package filler

// Zero sets a field that is zero to value.
func Zero[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
