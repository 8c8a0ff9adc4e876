#include "process/temporary_directory.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

namespace buckthornspar::process_test {

namespace fs = std::filesystem;

temporary_directory::temporary_directory()
    : m_path((fs::temp_directory_path() / "buckthornspar-XXXXXX").string()) {
    if (mkdtemp(m_path.data()) == nullptr) {
        throw std::runtime_error("cannot create a temporary directory");
    }
}

temporary_directory::~temporary_directory() {
    if (std::getenv("BTS_KEEP_LOGS") == nullptr) {
        std::error_code ignored;
        fs::remove_all(m_path, ignored);
    }
}

} // namespace buckthornspar::process_test
