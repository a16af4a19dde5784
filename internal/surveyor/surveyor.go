// Package surveyor reads the limits that the host sets for this process: its memory and its
// file descriptors.
package surveyor

import (
	"math"
	"os"
	"path"
	"strconv"
	"strings"
	"syscall"
)

const (
	memoryTable  = "/proc/meminfo"
	groupTable   = "/proc/self/cgroup"
	groupRoot    = "/sys/fs/cgroup"
	groupMaximum = "memory.max"

	// defaultMemory and defaultDescriptors are used on a host that names no limit.
	defaultMemory      = 4 << 30 // bytes
	defaultDescriptors = 1024
)

// Memory returns the bytes of memory that the process may use: those of the host, or of its
// control group if that has fewer.
func Memory() int64 {
	table, _ := os.ReadFile(memoryTable)
	limit := totalMemory(string(table))
	groups, _ := os.ReadFile(groupTable)
	for _, file := range groupFiles(string(groups)) {
		text, _ := os.ReadFile(file)
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			limit = min(limit, n)
		}
	}

	return limit
}

// totalMemory returns the field MemTotal of /proc/meminfo in bytes.
func totalMemory(table string) int64 {
	for line := range strings.Lines(table) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != "MemTotal:" {
			continue
		}
		if n, err := strconv.ParseInt(fields[1], 10, 64); err == nil && n > 0 {
			return n << 10
		}
	}

	return defaultMemory
}

// groupFiles returns the files with the memory limits of the process's control group and of
// the groups above it.
func groupFiles(table string) []string {
	var files []string
	for line := range strings.Lines(table) {
		group, ok := strings.CutPrefix(strings.TrimSpace(line), "0::")
		if !ok {
			continue
		}
		for group = path.Clean("/" + group); ; group = path.Dir(group) {
			files = append(files, path.Join(groupRoot, group, groupMaximum))
			if group == "/" {
				break
			}
		}
	}

	return files
}

// Descriptors returns how many file descriptors the process may have open.
func Descriptors() int64 {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return defaultDescriptors
	}

	return int64(min(limit.Cur, math.MaxInt32))
}
