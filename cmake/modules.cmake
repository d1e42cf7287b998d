# GCC contracts a*b+c to one instruction on arm64 and not on x86-64, with another result in the last
# bit. Instances of both architectures agree on ranks and shares, so all round alike.
add_compile_options(-ffp-contract=off)

# Warnings are errors only in full builds: a platform-only build may use another compiler, which
# warns of other things.
set(cyclamenmount_warnings -Wall -Wextra -Wpedantic -Wshadow)
if(NOT CYCLAMENMOUNT_PLATFORM_ONLY)
  list(APPEND cyclamenmount_warnings -Werror)
endif()

# cyclamenmount_module(NAME SOURCES ... [LINK ...]): one static library per module folder.
function(cyclamenmount_module name)
  cmake_parse_arguments(MODULE "" "" "SOURCES;LINK" ${ARGN})
  add_library(${name} STATIC ${MODULE_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${cyclamenmount_warnings})
  target_link_libraries(${name} PUBLIC ${MODULE_LINK})
endfunction()

# cyclamenmount_program(NAME SOURCES ... [LINK ...]): one executable.
function(cyclamenmount_program name)
  cmake_parse_arguments(PROGRAM "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${PROGRAM_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${cyclamenmount_warnings})
  target_link_libraries(${name} PRIVATE ${PROGRAM_LINK})
endfunction()

# cyclamenmount_static_runtime(NAME): links the compiler's and the C++ library's runtime as archives.
function(cyclamenmount_static_runtime name)
  target_link_options(${name} PRIVATE -static-libstdc++ -static-libgcc)
  set_target_properties(${name} PROPERTIES HAS_STATIC_RUNTIME ON)
endfunction()

# cyclamenmount_test(NAME SOURCES ... [LINK ...]): one CppUTest runner, registered with CTest.
function(cyclamenmount_test name)
  if(CYCLAMENMOUNT_PLATFORM_ONLY)
    return()
  endif()
  cmake_parse_arguments(TEST "" "" "SOURCES;LINK" ${ARGN})
  cyclamenmount_program(${name} SOURCES ${PROJECT_SOURCE_DIR}/src/testing/main.cpp ${TEST_SOURCES}
                                LINK ${TEST_LINK} PkgConfig::CPPUTEST)
  target_compile_definitions(${name} PRIVATE
      CYCLAMENMOUNT_SOURCE_DIR="${PROJECT_SOURCE_DIR}" CYCLAMENMOUNT_BINARY_DIR="${PROJECT_BINARY_DIR}")
  add_test(NAME ${name} COMMAND ${name} -v)
  set_tests_properties(${name} PROPERTIES TIMEOUT 240)
endfunction()
