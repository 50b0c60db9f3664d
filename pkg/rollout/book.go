package rollout

// Book is what one daemon knows of roll-outs. Only the goroutine that runs the systems
// touches it.
type Book struct{}

// NewBook makes an empty book.
func NewBook(limits Limits) *Book { return &Book{} }

// Take takes over what is newer than what the book holds. It returns the services
// whose traffic changed; none where everything was known.
func (b *Book) Take(news News) (changed []string) { return nil }

// News is all that the book holds, for peers: the same value until something changes.
func (b *Book) News() News { return News{} }

// Digest is one number for News: two books that hold the same have the same.
func (b *Book) Digest() uint64 { return 0 }

// Order, Plan and Stopped are what is known of a service; ok is false for nothing.
func (b *Book) Order(service string) (order Order, ok bool) { return Order{}, false }

// Plan returns the newest plan of a service.
func (b *Book) Plan(service string) (plan Plan, ok bool) { return Plan{}, false }

// Stopped returns the stop of the order in force of a service.
func (b *Book) Stopped(service string) (stop Stop, ok bool) { return Stop{}, false }

// Traffic is what the hot path needs for a service; nil: no roll-out of it is known.
func (b *Book) Traffic(service string) *Traffic { return nil }
