"""Control of owned engines: leases, scheduling, orders and reports."""
