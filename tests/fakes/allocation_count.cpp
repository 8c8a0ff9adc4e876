#include "fakes/allocation_count.h"

#include <malloc.h>

#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::int64_t> live_bytes{0};

} // namespace

namespace buckthornspar::test {

std::int64_t allocated_bytes() {
    return live_bytes.load();
}

} // namespace buckthornspar::test

// The other forms of new and delete call these.
void* operator new(std::size_t size) {
    void* const memory = std::malloc(size == 0 ? 1 : size);
    if (memory == nullptr) {
        throw std::bad_alloc();
    }
    live_bytes += static_cast<std::int64_t>(malloc_usable_size(memory));
    return memory;
}

void operator delete(void* memory) noexcept {
    if (memory != nullptr) {
        live_bytes -= static_cast<std::int64_t>(malloc_usable_size(memory));
        std::free(memory);
    }
}

void operator delete(void* memory, std::size_t /*size*/) noexcept {
    operator delete(memory);
}
