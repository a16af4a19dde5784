// Package defaulter sets defaults for fields that settings leave out.
package defaulter

// Default sets a field to value if it has the zero value of its type.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
