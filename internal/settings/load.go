package settings

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// LoadFront reads the settings of an entry instance and the key files that they name. The result is nil if there is any
// problem.
func LoadFront(path string) (*Front, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	front, d := parseFront(path, data)
	if d.broken {
		return nil, d.sorted()
	}
	d.keyFile(&front.FleetKey, &front.FleetKeyFile, "fleetKeyFile")
	for i := range front.Organisations {
		o := &front.Organisations[i]
		d.keyFile(&o.Key, &o.KeyFile, fmt.Sprintf("organisations[%d].keyFile", i))
	}
	d.distinctKeys(front.Organisations)
	d.existing(&front.TLS.CertFile, "tls.certFile")
	d.existing(&front.TLS.KeyFile, "tls.keyFile")
	d.existing(&front.TLS.CAFile, "tls.caFile")
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return front, nil
}

// ParseFront reads the settings of an entry instance without touching the files that they name. The result is nil if
// there is any problem.
func ParseFront(name string, data []byte) (*Front, []Problem) {
	front, d := parseFront(name, data)
	d.distinctKeys(front.Organisations)
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return front, nil
}

func parseFront(name string, data []byte) (*Front, *document) {
	front := new(Front)
	d := decode(name, data, front)
	if !d.broken {
		d.checkFront(front)
	}
	return front, d
}

// LoadAgent reads the settings of an agent and the key file that they name. The result is nil if there is any problem.
func LoadAgent(path string) (*Agent, []Problem) {
	data, problems := readFile(path)
	if problems != nil {
		return nil, problems
	}
	agent, d := parseAgent(path, data)
	if d.broken {
		return nil, d.sorted()
	}
	d.keyFile(&agent.FleetKey, &agent.FleetKeyFile, "fleetKeyFile")
	d.existing(&agent.TLS.CAFile, "tls.caFile")
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return agent, nil
}

// ParseAgent reads the settings of an agent without touching the files that they name. The result is nil if there is
// any problem.
func ParseAgent(name string, data []byte) (*Agent, []Problem) {
	agent, d := parseAgent(name, data)
	if len(d.problems) > 0 {
		return nil, d.sorted()
	}
	return agent, nil
}

func parseAgent(name string, data []byte) (*Agent, *document) {
	agent := new(Agent)
	d := decode(name, data, agent)
	if !d.broken {
		d.checkAgent(agent)
	}
	return agent, d
}

func readFile(path string) ([]byte, []Problem) {
	data, err := os.ReadFile(path)
	if err == nil {
		return data, nil
	}
	p := Problem{File: path, Message: "the file cannot be read: " + err.Error(), Remedy: "make it readable for this user"}
	if errors.Is(err, fs.ErrNotExist) {
		p.Message, p.Remedy = "the file does not exist", "create it or name another file; examples/ holds samples"
	}
	return nil, []Problem{p}
}

// resolve makes a path of the settings relative to the folder of the settings file.
func (d *document) resolve(path string) string {
	if filepath.IsAbs(path) {
		return path
	}
	return filepath.Join(filepath.Dir(d.name), path)
}

// keyFile reads a key from the file, if one is named.
func (d *document) keyFile(key, file *string, path string) {
	if *file == "" {
		return
	}
	*file = d.resolve(*file)
	data, err := os.ReadFile(*file)
	if err != nil {
		d.at(path, "the key file cannot be read: "+err.Error(), "create it with the key as its only line")
		return
	}
	*key = strings.TrimSpace(string(data))
	if message, remedy := checkKey(*key); message != "" {
		d.at(path, "in "+*file+": "+message, remedy)
	}
}

func (d *document) existing(file *string, path string) {
	if *file == "" {
		return
	}
	*file = d.resolve(*file)
	if _, err := os.Stat(*file); err != nil {
		d.at(path, "the file cannot be found: "+err.Error(), "create it or correct the path")
	}
}
