# `make demo` and `make test` do all the set-up that they need.
BUILD ?= build
.PHONY: packages build demo test bench format lint clean

packages:
	@bash scripts/packages.sh

$(BUILD)/build.ninja: | packages
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null

build: packages $(BUILD)/build.ninja
	@cmake --build $(BUILD)

demo: build
	@bash scripts/demo.sh $(BUILD)

test: build
	@bash scripts/test.sh $(BUILD)

bench: build
	@bash scripts/bench.sh $(BUILD)

format:
	@bash scripts/format.sh

lint: $(BUILD)/build.ninja
	@bash scripts/lint.sh

clean:
	@rm -rf $(BUILD)
