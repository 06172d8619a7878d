package httpclient

import "context"

// Hooks are callbacks during the sending of a request. Each may be nil; they must not
// block.
type Hooks struct {
	// Connecting is called before the call waits for a new connection, which may take
	// as long as a dial.
	Connecting func()
	// BeforeSend is called just before the first byte is written. If it returns an
	// error, nothing is written and the call fails with a *NotSentError that wraps it.
	BeforeSend func() error
}

type hooksKey struct{}

// WithHooks returns a context whose calls invoke the hooks.
func WithHooks(ctx context.Context, h *Hooks) context.Context {
	return context.WithValue(ctx, hooksKey{}, h)
}

// notifyConnecting invokes the Connecting hook of a context, if any.
func notifyConnecting(ctx context.Context) {
	if h, ok := ctx.Value(hooksKey{}).(*Hooks); ok && h.Connecting != nil {
		h.Connecting()
	}
}

// CheckBeforeSend invokes the BeforeSend hook of a context, if any, and returns its
// error. It is exported for senders that do not use a Client.
func CheckBeforeSend(ctx context.Context) error {
	if h, ok := ctx.Value(hooksKey{}).(*Hooks); ok && h.BeforeSend != nil {
		return h.BeforeSend()
	}
	return nil
}
