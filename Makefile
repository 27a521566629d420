# Run "make help" for the targets.
CC = gcc
CFLAGS ?= -O2 -g
BUILD = build
PKGS = apr-1 apr-util-1 libmicrohttpd libtirpc jansson libxxhash openssl \
	cunit libcurl inih zlib
ALL_CFLAGS = -std=gnu11 -Wall -Wextra -Werror -Wno-unused-parameter -pthread \
	-I. $(shell pkg-config --cflags $(PKGS)) $(CFLAGS)
LIBS = $(shell pkg-config --libs $(PKGS)) -lhttp_parser -lm -pthread $(SAN)

SLICES = lib front ticket health upstream peer member conf admin \
	fake home attempt feed platform
NOT_LIBRARY = %_test.c %_measure.c %_slopes.c %_main.c home/replay.c
SRC = $(filter-out $(NOT_LIBRARY),$(wildcard $(addsuffix /*.c,$(SLICES))))
OBJ = $(SRC:%.c=$(BUILD)/%.o)
TESTS = $(patsubst %.c,$(BUILD)/%,$(wildcard */*_test.c))
MEASURES = $(patsubst %.c,$(BUILD)/%,$(wildcard */*_measure.c))
SLOPES = $(patsubst %.c,$(BUILD)/%,$(wildcard */*_slopes.c))
PROGRAMS = $(patsubst %_main.c,$(BUILD)/%_main,$(wildcard fake/*_main.c \
	fault/*_main.c platform/*_main.c soak/*_main.c)) $(patsubst cmd/%,$(BUILD)/bin/%,$(wildcard cmd/*))
FILES = $(wildcard */*.c */*.h cmd/*/*.c cmd/*/*.h)

all: $(PROGRAMS) $(TESTS) $(MEASURES) $(SLOPES)

help:
	@echo "make           build everything"
	@echo "make setup     install the packages that the build needs"
	@echo "make demo      start a small fleet, send reads and payments through it"
	@echo "make check     run every test program"
	@echo "make check-memory  run them with the address and UB sanitizers"
	@echo "make faults    run the process-level failure tests"
	@echo "make crowds    run crowds of clients that misbehave, one case at a time"
	@echo "make soak      inject random faults into real processes: SEEDS=50 FIRST=1"
	@echo "make soak-watch  kill real daemons while workers of a platform's stand-in leave"
	@echo "make soak-regression  run the seeds in soak/*seeds.txt, which failed once"
	@echo "make conf-check  test azhctl with the simulated store and three daemons"
	@echo "make models    check the Promela models and their broken variants"
	@echo "make measure   measure in simulated time; prints 'name value unit' lines"
	@echo "make slopes    measure memory, CPU time and traffic for docs/CAPACITY.md"
	@echo "make bench     measure the latency and cost that one to three daemons add"
	@echo "make format lint   check the formatting; run the linter"

-include $(wildcard $(BUILD)/*/*.d $(BUILD)/cmd/*/*.d)

$(BUILD)/%.o: %.c
	@mkdir -p $(@D)
	$(CC) $(ALL_CFLAGS) -MMD -MP -c -o $@ $<

$(BUILD)/libaz.a: $(OBJ)
	@rm -f $@
	ar rcs $@ $(OBJ)

$(BUILD)/%_test: $(BUILD)/%_test.o $(BUILD)/libaz.a
	$(CC) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BUILD)/%_measure: $(BUILD)/%_measure.o $(BUILD)/libaz.a
	$(CC) -o $@ $(filter %.o,$^) $(filter %.a,$^) $(LIBS)

$(BUILD)/%_slopes: $(BUILD)/%_slopes.o $(BUILD)/libaz.a
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/%_main: $(BUILD)/%_main.o $(BUILD)/libaz.a
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/home/home_test $(BUILD)/home/home_measure: $(BUILD)/home/replay.o

FAULT_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out %_main.c,$(wildcard fault/*.c)))
$(BUILD)/fault/faults_main $(BUILD)/fault/crowds_main: $(BUILD)/fault/%: \
		$(BUILD)/fault/%.o $(FAULT_OBJ) $(BUILD)/libaz.a
	$(CC) -o $@ $^ $(LIBS)

SOAK_OBJ = $(patsubst %.c,$(BUILD)/%.o,$(filter-out %_main.c %_test.c,$(wildcard soak/*.c)))
$(BUILD)/soak/soak_main: $(BUILD)/soak/soak_main.o $(SOAK_OBJ) $(FAULT_OBJ) $(BUILD)/libaz.a
	$(CC) -o $@ $^ $(LIBS)

$(BUILD)/soak/plan_test: $(BUILD)/soak/plan.o
$(BUILD)/soak/watch_test: $(BUILD)/soak/watch_plan.o

define program
$(BUILD)/bin/$(1): $(patsubst %.c,$(BUILD)/%.o,$(wildcard cmd/$(1)/*.c)) $(BUILD)/libaz.a
	@mkdir -p $(BUILD)/bin
	$(CC) -o $$@ $$^ $(LIBS)
endef
$(foreach p,$(notdir $(wildcard cmd/*)),$(eval $(call program,$(p))))

setup:
	sh .ci/setup

check: all
	sh .ci/check $(TESTS)

# Address, leak and undefined-behaviour sanitizers.
check-memory:
	$(MAKE) -s BUILD=build/memory \
		CFLAGS="-O1 -g -fsanitize=address,undefined \
		-fno-sanitize-recover=undefined" SAN=-fsanitize=address,undefined \
		check

demo: setup
	$(MAKE) all
	sh fake/demo.sh

faults: all
	sh fault/run.sh

crowds: all
	sh fault/crowds.sh

# Number of seeds, and the first seed; FIRST=0 chooses it at random.
SEEDS ?= 1
FIRST ?= 1
soak: all
	$(BUILD)/soak/soak_main --seed $(FIRST) --count $(SEEDS)

soak-watch: all
	$(BUILD)/soak/soak_main --watch --seed $(FIRST) --count $(SEEDS)

# Runs the seeds that have failed once; the lists have their causes.
soak-regression: all
	@for l in "seeds.txt:--seed" "watch_seeds.txt:--watch --seed"; do \
		sed -n 's/^\([0-9][0-9]*\).*/\1/p' soak/$${l%%:*} | \
			xargs -P 3 -n 1 $(BUILD)/soak/soak_main $${l#*:} \
			2>$(BUILD)/soak/errors || \
			{ cat $(BUILD)/soak/errors; exit 1; }; \
	done

conf-check: all
	sh conf/e2e.sh

models:
	sh spec/run.sh

measure: all
	@for m in $(MEASURES); do $$m || exit 1; done

slopes: all
	sh fault/slopes.sh

bench: all
	sh fault/bench.sh

format:
	clang-format --dry-run -Werror $(FILES)

reformat:
	clang-format -i $(FILES)

lint:
	@printf '%s\n' $(filter %.c,$(FILES)) | xargs -P 8 -n 3 sh .ci/lint $(ALL_CFLAGS)

clean:
	rm -rf $(BUILD)

.PHONY: all help setup check check-memory demo faults crowds soak soak-watch soak-regression conf-check models measure \
	slopes bench format reformat lint clean
.SECONDARY:
