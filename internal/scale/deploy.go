package scale

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// errNoProgram reports that the deploy file names no program.
var errNoProgram = errors.New("deploy file: run is empty")

// deployFile holds the commands that build and start the service.
type deployFile struct {
	Build string `toml:"build"`
	Run   string `toml:"run"`
}

// buildService builds the service with the command of the deploy file, and returns the program that
// runs a controller with its arguments. The deploy file is deploy/service.toml in the given root
// of the repository; the build command runs in that root.
func buildService(root string) ([]string, error) {
	b, err := os.ReadFile(filepath.Join(root, "deploy", "service.toml"))
	if err != nil {
		return nil, err //nolint:wrapcheck // the error names the file
	}
	var deploy deployFile
	if err := toml.Unmarshal(b, &deploy); err != nil {
		return nil, fmt.Errorf("deploy file: %w", err)
	}
	cmd := exec.Command("sh", "-c", deploy.Build)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return nil, fmt.Errorf("build service: %w\n%s", err, out)
	}
	program := strings.Fields(deploy.Run)
	if len(program) == 0 {
		return nil, errNoProgram
	}
	program[0] = filepath.Join(root, program[0])
	return program, nil
}

// describeCommit returns the commit of a checkout, marked as dirty if the checkout has uncommitted
// changes, or "unknown" if git does not report one.
func describeCommit(root string) string {
	out, err := exec.Command("git", "-C", root, "describe", "--always", "--dirty", "--exclude", "*").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
