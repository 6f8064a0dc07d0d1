.PHONY: build test lint check run

build:
	cargo build --release --locked

test:
	cargo test --locked

lint:
	cargo fmt --check
	cargo clippy --locked --all-targets -- -D warnings

check:
	.ci/run

# make run CONFIG=FILE
run: build
	exec target/release/wheatpier serve $(if $(CONFIG),--config $(CONFIG))
