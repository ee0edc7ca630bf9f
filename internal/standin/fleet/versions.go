package fleet

import "strings"

// versionComment begins the comment line with which a worker signs an event: comments belong to the bytes of an event, but not to its fields.
const versionComment = ": version "

// Version returns the version of the worker's software.
func (w *Worker) Version() string {
	if w.options.Version == "" {
		return DefaultVersion
	}
	return w.options.Version
}

// signature returns the line that begins each event of the worker; empty if the worker does not sign them.
func (w *Worker) signature() string {
	if w.options.Version == "" {
		return ""
	}
	return versionComment + w.options.Version + "\n"
}

// splitVersions separates the body of a response from the versions with which workers have signed its complete events.
func splitVersions(content string) (body string, versions []string) {
	if !strings.Contains(content, versionComment[:1]) {
		return content, nil
	}
	var rest strings.Builder
	signed := ""
	for line := range strings.Lines(content) {
		version, isSignature := strings.CutPrefix(strings.TrimSuffix(line, "\n"), versionComment)
		isPartial := !strings.HasSuffix(line, "\n") && strings.HasPrefix(versionComment, line)
		switch {
		case isSignature:
			signed = version
			continue
		case isPartial:
			continue
		case line == "\n" && signed != "":
			versions, signed = append(versions, signed), ""
		}
		rest.WriteString(line)
	}
	return rest.String(), versions
}

// LastEventID returns the id of the last complete event of the response; empty without any.
func (r Response) LastEventID() string {
	const eventEnd = "\n\n"
	complete, _, found := cutLast(r.Body, eventEnd)
	if !found {
		return ""
	}
	_, event, _ := cutLast(complete, eventEnd)
	for line := range strings.Lines(event) {
		if id, isID := strings.CutPrefix(strings.TrimSuffix(line, "\n"), "id: "); isID {
			return id
		}
	}
	return ""
}

// cutLast cuts a text around the last separator. Without one, all of the text is after it.
func cutLast(text, separator string) (before, after string, found bool) {
	if at := strings.LastIndex(text, separator); at >= 0 {
		return text[:at], text[at+len(separator):], true
	}
	return "", text, false
}
