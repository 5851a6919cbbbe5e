package v1

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

var unmarshalerType = reflect.TypeFor[json.Unmarshaler]()

// checkValue checks a parsed tree against the type that target points to.
func checkValue(value, target any, path string, errs *errorList) {
	checker := typeChecker{errs: errs}
	checker.check(value, reflect.TypeOf(target).Elem(), path)
}

// typeChecker reports every mismatch between a tree and a type.
type typeChecker struct {
	errs *errorList
}

func (checker *typeChecker) check(value any, wanted reflect.Type, path string) {
	if value == nil { // null is the same as an omitted field
		return
	}
	if reflect.PointerTo(wanted).Implements(unmarshalerType) {
		checker.checkUnmarshaler(value, wanted, path)
		return
	}
	switch wanted.Kind() {
	case reflect.Pointer:
		checker.check(value, wanted.Elem(), path)
	case reflect.Struct:
		checker.checkObject(value, wanted, path)
	case reflect.Slice:
		checker.checkList(value, wanted, path)
	default:
		checker.checkScalar(value, wanted, path)
	}
}

func (checker *typeChecker) checkObject(value any, wanted reflect.Type, path string) {
	object, isObject := value.(treeObject)
	if !isObject {
		checker.errs.add(path, "want an object, got %s", describeValue(value))
		return
	}
	fields := fieldTypes(wanted)
	for _, name := range object.names {
		field, known := fields[name]
		if !known {
			checker.errs.add(joinPath(path, name), "unknown field")
			continue
		}
		checker.check(object.fields[name], field, joinPath(path, name))
	}
}

func (checker *typeChecker) checkList(value any, wanted reflect.Type, path string) {
	list, isList := value.([]any)
	if !isList {
		checker.errs.add(path, "want a list, got %s", describeValue(value))
		return
	}
	for index, item := range list {
		if item == nil {
			checker.errs.add(indexPath(path, index), "must not be null")
			continue
		}
		checker.check(item, wanted.Elem(), indexPath(path, index))
	}
}

// checkScalar decodes the value separately, so that the error can contain its path.
func (checker *typeChecker) checkScalar(value any, wanted reflect.Type, path string) {
	switch value.(type) {
	case treeObject, []any:
	default:
		text, err := json.Marshal(value)
		if err == nil && json.Unmarshal(text, reflect.New(wanted).Interface()) == nil {
			return
		}
	}
	checker.errs.add(path, "want %s, got %s", scalarName(wanted.Kind()), describeValue(value))
}

func (checker *typeChecker) checkUnmarshaler(value any, wanted reflect.Type, path string) {
	text, err := json.Marshal(value)
	if err == nil {
		err = json.Unmarshal(text, reflect.New(wanted).Interface())
	}
	if err != nil {
		checker.errs.add(path, "%v", err)
	}
}

// fieldTypes maps the JSON names of a struct to the types of its fields.
func fieldTypes(structure reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, structure.NumField())
	for index := range structure.NumField() {
		field := structure.Field(index)
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		fields[name] = field.Type
	}
	return fields
}

func scalarName(kind reflect.Kind) string {
	switch kind {
	case reflect.String:
		return "text"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	default:
		return "a whole number"
	}
}

func describeValue(value any) string {
	switch value := value.(type) {
	case treeObject:
		return "an object"
	case []any:
		return "a list"
	case string:
		return fmt.Sprintf("text %.40q", value)
	default:
		return fmt.Sprint(value)
	}
}
