package record

import (
	"os"
	"testing"

	"damsonkeel/internal/fixedseed"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m)) }
