# The README's commands demo, check and measure. Each first installs the Debian packages that it
# needs.

BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: demo check measure build format deps

deps:
	@scripts/install_dependencies

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

demo: build
	@$(BUILD)/cornelshed-demo --binaries $(BUILD) --source .

check: build
	@scripts/check $(BUILD)

measure: build
	@$(BUILD)/cornelshed-measure

format:
	@git ls-files '*.cpp' '*.h' | grep -v '^schema/' | xargs clang-format -i
