# Wraps CMake. `make` builds; `make test` and `make demo` are all that a
# newcomer needs: both install the Debian packages that are missing.

PACKAGES = g++ cmake ninja-build ccache clang-format clang-tidy python3 \
  pkg-config libboost1.81-dev libboost-json1.81-dev libboost-url1.81-dev \
  libnghttp2-dev libspdlog-dev libcli11-dev libcppunit-dev librapidcheck-dev \
  libssl-dev zlib1g-dev openssl
BUILD ?= build
FUZZ_SECONDS ?= 60

.PHONY: all deps test demo bench bench-weights bench-requests bench-config \
  bench-capacity fuzz soak lint clang-format check-format check-tidy

all: $(BUILD)/build.ninja
	cmake --build $(BUILD)

$(BUILD)/build.ninja:
	cmake -S . -B $(BUILD) -G Ninja

deps:
	@src/cmake/install_packages.sh $(PACKAGES)

demo: deps all
	python3 testsuite/demo.py --bin $(BUILD)

# The unit tests under sanitizers first, so that CTest's closing line is last.
test: deps all
	src/cmake/sanitized_tests.sh build-asan address,undefined core
	src/cmake/sanitized_tests.sh build-tsan thread sharded
	python3 testsuite/run_ctest.py $(BUILD)

bench: bench-weights bench-requests bench-config bench-capacity

bench-weights bench-requests bench-config bench-capacity: all
	python3 testsuite/run_bench.py $@ --bin $(BUILD)

# Properties with free seeds, for as long as FUZZ_SECONDS says.
fuzz: all
	python3 testsuite/run_fuzz.py --bin $(BUILD) --seconds $(FUZZ_SECONDS)

# Real processes under random faults, and under planned work alone, where no cut
# is excused; SOAK_SEEDS runs of each with fresh seeds.
SOAK_SEEDS ?= 10
soak: all
	python3 testsuite/soak/run_soak.py --bin $(BUILD) --seeds $(SOAK_SEEDS)
	python3 testsuite/soak/run_soak.py --bin $(BUILD) --seeds $(SOAK_SEEDS) --planned

lint: check-format check-tidy

SOURCES = $(shell git ls-files -co --exclude-standard '*.cc' '*.h')

clang-format:
	clang-format -i $(SOURCES)

check-format:
	@clang-format --dry-run -Werror $(SOURCES)

check-tidy: all
	@python3 src/cmake/check_coroutines.py $(SOURCES)
	python3 src/cmake/run_clang_tidy.py $(BUILD)
