package pressure

import (
	"slices"
	"strings"
)

// ImageCPU is the CPU in milliprocessors that the tasks of an image have at a worker.
type ImageCPU struct {
	Image string
	CPU   int64
}

// CPUByImage is sorted by image. It is small, as a worker runs few images.
type CPUByImage []ImageCPU

// Of returns the CPU of an image.
func (u CPUByImage) Of(image string) int64 {
	for _, x := range u {
		if x.Image == image {
			return x.CPU
		}
	}
	return 0
}

// Add adds to the CPU of an image. Images with zero CPU are removed.
func (u *CPUByImage) Add(image string, cpu int64) {
	at, found := slices.BinarySearchFunc(*u, image, func(x ImageCPU, image string) int { return strings.Compare(x.Image, image) })
	if !found {
		*u = slices.Insert(*u, at, ImageCPU{Image: image})
	}
	(*u)[at].CPU += cpu
	if (*u)[at].CPU == 0 {
		*u = slices.Delete(*u, at, at+1)
	}
}
