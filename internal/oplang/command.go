package oplang

import (
	"encoding/json"

	"github.com/cockroachdb/errors"

	"github.com/capersaddle/capersaddle/internal/config"
)

// Command converts a script into the changes of one configuration command; the caller sets the
// remaining fields.
func (s *Script) Command() (config.Command, error) {
	var command config.Command
	if s.IfRevision != nil {
		command.IfRevision = *s.IfRevision
	}
	for _, statement := range s.Statements {
		change, err := statement.change()
		if err != nil {
			return config.Command{}, err
		}
		command.Changes = append(command.Changes, change)
	}
	return command, nil
}

func (s *Statement) change() (config.Change, error) {
	switch {
	case s.Create != nil:
		value, err := s.Create.fieldsJSON()
		return config.Change{Name: s.Create.documentName(), Value: value, Need: config.NeedAbsent}, err
	case s.Change != nil:
		value, err := s.Change.fieldsJSON()
		return config.Change{Name: s.Change.documentName(), Value: value, Need: config.NeedPresent, Merge: true}, err
	case s.Remove != nil:
		return config.Change{Name: s.Remove.documentName(), Need: config.NeedPresent}, nil
	case s.Mark != nil:
		value, err := json.Marshal(config.Mark{Leaving: true})
		return config.Change{Name: config.KindMark + "/" + *s.Mark, Value: value}, errors.Wrap(err, "write mark")
	case s.Unmark != nil:
		return config.Change{Name: config.KindMark + "/" + *s.Unmark}, nil
	}
	return config.Change{}, errors.New("empty statement")
}

func (n *Named) documentName() string {
	return n.Kind + "/" + n.Name
}

func (c *Create) fieldsJSON() (json.RawMessage, error) {
	fields := make(map[string]any, len(c.Fields))
	for _, field := range c.Fields {
		if _, duplicate := fields[field.Name]; duplicate {
			return nil, errors.Newf("field %q is given twice", field.Name)
		}
		fields[field.Name] = field.Value.jsonValue()
	}
	data, err := json.Marshal(fields)
	return data, errors.Wrap(err, "write fields")
}

// jsonValue returns the value in a form that encoding/json can encode.
func (v *Value) jsonValue() any {
	switch {
	case v.Number != nil:
		return *v.Number
	case v.True:
		return true
	case v.False:
		return false
	case v.Text != nil:
		return *v.Text
	}
	list := make([]any, 0, len(v.List))
	for _, item := range v.List {
		list = append(list, item.jsonValue())
	}
	return list
}
