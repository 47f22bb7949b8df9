package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// LoadFront reads the settings of an entry instance from a file, and the key files named in it. The result is nil if there
// is any problem.
func LoadFront(path string) (*Front, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	front, d := parseFront(path, data)
	if d.notDecoded {
		return nil, d.sortedProblems()
	}
	d.readKeyFile(&front.FleetKey, &front.FleetKeyFile, "fleetKeyFile")
	for i := range front.Organisations {
		o := &front.Organisations[i]
		d.readKeyFile(&o.Key, &o.KeyFile, fmt.Sprintf("organisations[%d].keyFile", i))
	}
	d.checkDistinctKeys(front.Organisations)
	d.checkFileExists(&front.TLS.CertFile, "tls.certFile")
	d.checkFileExists(&front.TLS.KeyFile, "tls.keyFile")
	d.checkFileExists(&front.TLS.CAFile, "tls.caFile")
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return front, nil
}

// ParseFront parses the settings of an entry instance without accessing the files named in them. The result is nil if
// there is any problem.
func ParseFront(name string, data []byte) (*Front, []Problem) {
	front, d := parseFront(name, data)
	d.checkDistinctKeys(front.Organisations)
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return front, nil
}

func parseFront(name string, data []byte) (*Front, *document) {
	front := new(Front)
	d := decode(name, data, front)
	if !d.notDecoded {
		d.checkFront(front)
	}
	return front, d
}

// LoadAgent reads the settings of an agent from a file, and the key file named in it. The result is nil if there is any
// problem.
func LoadAgent(path string) (*Agent, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	agent, d := parseAgent(path, data)
	if d.notDecoded {
		return nil, d.sortedProblems()
	}
	d.readKeyFile(&agent.FleetKey, &agent.FleetKeyFile, "fleetKeyFile")
	d.checkFileExists(&agent.TLS.CAFile, "tls.caFile")
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return agent, nil
}

// ParseAgent parses the settings of an agent without accessing the files named in them. The result is nil if there is
// any problem.
func ParseAgent(name string, data []byte) (*Agent, []Problem) {
	agent, d := parseAgent(name, data)
	if len(d.problems) > 0 {
		return nil, d.sortedProblems()
	}
	return agent, nil
}

func parseAgent(name string, data []byte) (*Agent, *document) {
	agent := new(Agent)
	d := decode(name, data, agent)
	if !d.notDecoded {
		d.checkAgent(agent)
	}
	return agent, d
}

func readFile(path string) ([]byte, []Problem) {
	data, err := os.ReadFile(path)
	if err == nil {
		return data, nil
	}
	problem := Problem{File: path, Message: "the file cannot be read: " + err.Error(), Remedy: "make it readable for this user"}
	if errors.Is(err, fs.ErrNotExist) {
		problem.Message, problem.Remedy = "the file does not exist", "create it or name another file; examples/ holds samples"
	}
	return nil, []Problem{problem}
}

// resolvePath resolves a path in the settings, which is relative to the folder of the settings file.
func (d *document) resolvePath(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(d.name), path)
}

// readKeyFile sets *key to the content of *file, if a file is given, and checks it. It resolves *file.
func (d *document) readKeyFile(key, file *string, path string) {
	if *file == "" {
		return
	}
	*file = d.resolvePath(*file)
	data, err := os.ReadFile(*file)
	if err != nil {
		d.addProblemAt(path, "the key file cannot be read: "+err.Error(), "create it with the key as its only line")
		return
	}
	*key = strings.TrimSpace(string(data))
	if message, remedy := checkKey(*key); message != "" {
		d.addProblemAt(path, "in "+*file+": "+message, remedy)
	}
}

func (d *document) checkFileExists(file *string, path string) {
	if *file == "" {
		return
	}
	*file = d.resolvePath(*file)
	if _, err := os.Stat(*file); err != nil {
		d.addProblemAt(path, "the file cannot be found: "+err.Error(), "create it or correct the path")
	}
}
