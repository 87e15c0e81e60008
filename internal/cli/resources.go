package cli

import "golang.org/x/sys/unix"

// limitDescriptors returns the number of descriptors that this process may open: the setting, or less if the
// system allows fewer. A setting of zero means as many as the system allows.
func limitDescriptors(setting int) int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return setting
	}
	allowed := int(min(limit.Cur, maxKnownDescriptors))
	if setting <= 0 {
		return allowed
	}
	return min(setting, allowed)
}

// maxKnownDescriptors stands for a system without a limit.
const maxKnownDescriptors = 1 << 20
