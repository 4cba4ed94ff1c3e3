# Shortcuts for Meson, Ninja and the scripts.
BUILD ?= build
SEEDS ?= 10
SECONDS ?= 20

.PHONY: all deps build check demo format lint model mutants soak bench sanitize docs clean

all: build

deps:
	tools/install-deps.sh

$(BUILD)/build.ninja:
	meson setup $(BUILD) >/dev/null

build: $(BUILD)/build.ninja
	ninja -C $(BUILD)

format:
	git ls-files '*.c' '*.h' | xargs clang-format -i

lint:
	tools/lint.sh $(BUILD)

check:
	tools/check.sh

sanitize:
	tools/sanitize.sh

demo: deps build
	tools/demo.sh $(BUILD)

mutants:
	tools/mutants.sh

model:
	spec/run-models.sh

soak: build
	tools/soak.sh $(BUILD) $(SEEDS) $(SECONDS)

bench: build
	tools/bench.sh $(BUILD)

docs: build
	$(BUILD)/settings/print-reference > docs/settings.md
	$(BUILD)/instance/print-metrics > docs/metrics.md

clean:
	rm -rf build build-asan
