"""Generates Python code from the .proto files with grpcio-tools.

Run it from the root of the repository after changing a .proto file, and commit
the generated files.
"""

import pathlib
import sys
from typing import Final

from grpc_tools import protoc  # type: ignore[import-untyped]

_SOURCE_ROOT: Final = pathlib.Path('src')
_MYPY_EXEMPTION: Final = '# mypy: ignore-errors\n'
_PROTO_DIRECTORY: Final = (
    _SOURCE_ROOT / 'currantshore' / 'internal' / 'process' / 'protos'
)


def main() -> int:
    """Generate the message and service modules; return protoc's exit code."""
    plugin = pathlib.Path(sys.executable).parent / 'protoc-gen-grpclib_python'
    status: int = protoc.main(
        [
            'protoc',
            f'--plugin=protoc-gen-grpclib_python={plugin}',
            f'--proto_path={_SOURCE_ROOT}',
            f'--python_out={_SOURCE_ROOT}',
            f'--pyi_out={_SOURCE_ROOT}',
            f'--grpclib_python_out={_SOURCE_ROOT}',
            *(str(path) for path in sorted(_PROTO_DIRECTORY.glob('*.proto'))),
        ],
    )
    for generated in _PROTO_DIRECTORY.glob('*.py*'):
        if generated.name != '__init__.py':
            _exempt_from_mypy(generated)
    return status


def _exempt_from_mypy(path: pathlib.Path) -> None:
    # protobuf ships no type information, so mypy cannot check the generated
    # code.
    text = path.read_text()
    if not text.startswith(_MYPY_EXEMPTION):
        path.write_text(_MYPY_EXEMPTION + text)


if __name__ == '__main__':
    sys.exit(main())
