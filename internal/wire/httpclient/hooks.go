package httpclient

import "context"

// Hooks watch a call on its way out. The functions may be nil, and must not wait.
type Hooks struct {
	// Connecting is called before a connection is opened, which may take long.
	Connecting func()
	// Leave is called just before the first byte is written. If it returns an
	// error, nothing is written and the call ends with a *DialError about it.
	Leave func() error
}

type hooksKey struct{}

// WithHooks returns a context for a call that is watched.
func WithHooks(ctx context.Context, h *Hooks) context.Context {
	return context.WithValue(ctx, hooksKey{}, h)
}

// connecting tells that a connection is opened for a call.
func connecting(ctx context.Context) {
	if h, ok := ctx.Value(hooksKey{}).(*Hooks); ok && h.Connecting != nil {
		h.Connecting()
	}
}

// Leave asks whether a call may still leave, for what makes calls in another way
// than by a Client.
func Leave(ctx context.Context) error {
	if h, ok := ctx.Value(hooksKey{}).(*Hooks); ok && h.Leave != nil {
		return h.Leave()
	}
	return nil
}
