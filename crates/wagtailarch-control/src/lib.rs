//! Control decisions without I/O: lease, orders, role plan, leaving, generations.
