package store

import "fmt"

// Fault is the reason why a stored object cannot be used.
type Fault string

// The faults of an object. They are label values of a metric, so their number is kept small.
const (
	// FaultUnreadable means that the bytes do not decode as an object.
	FaultUnreadable Fault = "unreadable"
	// FaultMissingField means that a required field is missing.
	FaultMissingField Fault = "field_missing"
	// FaultWrongType means that a field has the wrong type.
	FaultWrongType Fault = "wrong_type"
	// FaultWrongValue means that a field has an invalid value.
	FaultWrongValue Fault = "wrong_value"
	// FaultUnknownService means that the object refers to a service that is not configured.
	FaultUnknownService Fault = "unknown_service"
)

// BadObject is the error for an object that cannot be used. Unexpected writers can write
// to a kind; their objects must not affect the valid ones.
type BadObject struct {
	Kind, Name string
	Fault      Fault
	// Field is the invalid field. It is empty if the fault concerns the whole object.
	Field string
}

// Error implements error.
func (b *BadObject) Error() string {
	if b.Field == "" {
		return fmt.Sprintf("object %s/%s cannot be used: %s", b.Kind, b.Name, b.Fault)
	}
	return fmt.Sprintf("object %s/%s cannot be used: %s: %s", b.Kind, b.Name, b.Fault, b.Field)
}
