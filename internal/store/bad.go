package store

import "fmt"

// Fault is why an object that stands in the store cannot be used.
type Fault string

// The faults of an object. They are the labels of a metric, so that there are few.
const (
	// FaultUnreadable: the bytes are no object of the expected encoding.
	FaultUnreadable Fault = "unreadable"
	// FaultMissingField: a field that every such object has is missing.
	FaultMissingField Fault = "field_missing"
	// FaultWrongType: a field holds another type than it has to.
	FaultWrongType Fault = "wrong_type"
	// FaultWrongValue: a field holds a value that it cannot have.
	FaultWrongValue Fault = "wrong_value"
	// FaultUnknownService: no configuration names the service.
	FaultUnknownService Fault = "unknown_service"
)

// BadObject is the error of an object that cannot be used. Other writers than the expected
// ones can write to a kind; their objects must not harm the others.
type BadObject struct {
	Kind, Name string
	Fault      Fault
	// Field is the field at fault, empty where the whole object is.
	Field string
}

// Error implements error.
func (b *BadObject) Error() string {
	if b.Field == "" {
		return fmt.Sprintf("object %s/%s cannot be used: %s", b.Kind, b.Name, b.Fault)
	}
	return fmt.Sprintf("object %s/%s cannot be used: %s: %s", b.Kind, b.Name, b.Fault, b.Field)
}
